import type {Refusal} from '@papayarun/protocol';
import {httpStatusOf} from '@papayarun/protocol';
import type {HttpResponse} from './http_response.js';

const MS_PER_SECOND = 1000;

/**
 * Creates the HTTP response for a refusal.
 *
 * @param refusal - Refusal to be sent to the client.
 * @returns Response with the status of the refusal's code, the verdict in a
 * header and all fields as JSON.
 * @throws Never.
 * @example
 * refusalResponse(DispatchError.notRun('queueFull', 'full').refusal).status; // 503
 */
export function refusalResponse(refusal: Refusal): HttpResponse {
  const {verdict, code, message, field} = refusal;
  const headers: Record<string, string> = {'papayarun-verdict': verdict.kind};
  const retryAfterMs =
    verdict.kind === 'notRun' ? verdict.retryAfterMs : undefined;
  if (retryAfterMs !== undefined && Number.isFinite(retryAfterMs)) {
    headers['retry-after'] = String(Math.ceil(retryAfterMs / MS_PER_SECOND));
  }
  const json = {verdict: verdict.kind, code, message, field, retryAfterMs};
  return {status: httpStatusOf(code), headers, body: {json}};
}
