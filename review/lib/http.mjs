import {Buffer} from 'node:buffer';
import {request} from 'node:http';
import {clearTimeout, setTimeout} from 'node:timers';

/**
 * Sends a request over a connection of its own.
 *
 * @returns `{status, json}`, or `{status: 0, error}` after no response, a broken
 *   connection, or once the signal aborts.
 */
export function send(
  method,
  address,
  path,
  {body, headers = {}, timeoutMs = 1_000, signal} = {},
) {
  const [host, port] = address.split(':');
  return new Promise(resolve => {
    const options = {host, port, method, path, agent: false, signal};
    const req = request({
      ...options,
      headers: {'content-type': 'application/json', ...headers},
    });
    const fail = error => {
      clearTimeout(timer);
      resolve({status: 0, error});
      req.destroy();
    };
    const timer = setTimeout(() => fail('no response in time'), timeoutMs);
    req.on('error', err => fail(err.message));
    req.on('response', res => {
      const chunks = [];
      res.on('data', chunk => chunks.push(chunk));
      res.on('error', err => fail(err.message));
      res.on('close', () => {
        if (!res.complete) {
          fail('connection closed before the response was complete');
          return;
        }
        clearTimeout(timer);
        const text = Buffer.concat(chunks).toString('utf8');
        let json;
        try {
          json = JSON.parse(text);
        } catch {
          json = undefined;
        }
        resolve({status: res.statusCode, json});
      });
    });
    req.end(body === undefined ? undefined : JSON.stringify(body));
  });
}
