/**
 * Fault that a stand-in target injects into its responses.
 *
 * @description `fail`: responds with status 500 without delay. `truncate`:
 * closes the connection in the middle of the body. `beforeHeaders`: closes it
 * before the response headers. `crossed`: responds with the id of another
 * request. `busy`: responds with 503 and the verdict that the request was not
 * run. `slow`: takes five times as long.
 */
export type Fault =
  'none' | 'fail' | 'truncate' | 'beforeHeaders' | 'crossed' | 'busy' | 'slow';
