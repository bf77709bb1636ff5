import {once} from 'node:events';
import type {Socket} from 'node:net';
import {connect} from 'node:net';
import type {PeerAddress} from '../peer_address/peer_address.js';
import type {ProbeResult} from './probe_result.js';

/**
 * Opens a TCP connection to an address, and closes it at once.
 *
 * @param address - Host and port.
 * @param timeoutMs - Longest wait for the connection, in milliseconds.
 * @returns `unknown` after the timeout or any error other than a refusal.
 * @throws Never.
 * @example
 * await probeAddress({host: '10.0.1.11', port: 7720}, 300); // 'refused'
 */
export async function probeAddress(
  {host, port}: Pick<PeerAddress, 'host' | 'port'>,
  timeoutMs: number,
): Promise<ProbeResult> {
  let socket: Socket | undefined;
  try {
    socket = connect({host, port});
    await once(socket, 'connect', {signal: AbortSignal.timeout(timeoutMs)});
    return 'accepted';
  } catch (err) {
    const {code} = err as NodeJS.ErrnoException;
    return code === 'ECONNREFUSED' ? 'refused' : 'unknown';
  } finally {
    socket?.on('error', () => undefined);
    socket?.destroy();
  }
}
