/**
 * What a stand-in target does wrong.
 *
 * @description `fail`: answers 500 at once. `truncate`: ends the connection in
 * the middle of the answer. `beforeHeaders`: ends it before any answer.
 * `crossed`: answers with another request's id. `busy`: says that it did not
 * run the request. `slow`: takes five times as long.
 */
export type Fault =
  'none' | 'fail' | 'truncate' | 'beforeHeaders' | 'crossed' | 'busy' | 'slow';
