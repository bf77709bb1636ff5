import {Buffer} from 'node:buffer';
import {Agent, request} from 'node:http';
import {clearTimeout, setTimeout} from 'node:timers';

const agent = new Agent({keepAlive: true});

/**
 * Sends one JSON request.
 *
 * @returns {Promise<{status: number, json: object}>} Status 0 without a whole answer.
 */
export function sendJson(method, address, path, body, opts = {}) {
  const [host, port] = address.split(':');
  const text = body === undefined ? '' : JSON.stringify(body);
  return new Promise(resolve => {
    const req = request({
      agent: opts.ownConnection ? undefined : agent,
      host,
      port: Number(port),
      method,
      path,
      headers: {
        'content-type': 'application/json',
        'content-length': Buffer.byteLength(text),
        ...opts.headers,
      },
    });
    const timer = setTimeout(
      () => req.destroy(new Error('timeout')),
      opts.timeoutMs ?? 1_000,
    );
    const settle = result => {
      clearTimeout(timer);
      resolve(result);
    };
    req.on('error', err => settle({status: 0, json: {}, reason: err.message}));
    req.on('response', res => {
      const chunks = [];
      res.on('data', chunk => chunks.push(chunk));
      res.on('error', err =>
        settle({status: 0, json: {}, reason: err.message}),
      );
      res.on('end', () => {
        let json = {};
        try {
          json = JSON.parse(Buffer.concat(chunks).toString('utf8'));
        } catch {
          // A body that is not JSON is of no use to the callers.
        }
        settle({status: res.statusCode, json});
      });
    });
    req.end(text);
  });
}
