import {randomBytes} from 'node:crypto';
import type {InstanceId} from '@papayarun/protocol';
import type {WebSocket} from 'ws';
import {isSameMac, linkMac} from '../_lib/link_mac.js';

const NONCE_BYTES = 18;
const HANDSHAKE_TIMEOUT_MS = 2_000;
const MAX_HELLO_BYTES = 1_024;

interface Hello {
  readonly id: InstanceId;
  readonly nonce: string;
  readonly mac?: string;
}

/**
 * Mutual challenge and response on a new link.
 *
 * @description Each side sends its name and a fresh nonce, then proves with
 * the shared key that it has seen the other's nonce. The key never travels,
 * and a recorded handshake can't be used again. Three messages: the dialler's
 * hello, the acceptor's hello with proof, the dialler's proof.
 * @param socket - Open socket.
 * @param self - This instance.
 * @param key - Shared key.
 * @param dialled - Peer that was dialled, or undefined when accepting.
 * @returns The proven name of the peer.
 * @throws Error when the peer fails to prove itself in time.
 * @example
 * const peer = await handshake(socket, self, key, undefined);
 */
export async function handshake(
  socket: WebSocket,
  self: InstanceId,
  key: string,
  dialled: InstanceId | undefined,
): Promise<InstanceId> {
  const nonce = randomBytes(NONCE_BYTES).toString('base64');
  if (dialled !== undefined) {
    socket.send(JSON.stringify({id: self, nonce}));
    const hello = await nextHello(socket);
    const proof = linkMac(key, ['accept', hello.id, self, nonce, hello.nonce]);
    if (hello.id !== dialled || !isSameMac(proof, hello.mac)) {
      throw new Error(`handshake: ${dialled} did not prove itself`);
    }
    const mac = linkMac(key, ['dial', self, hello.id, hello.nonce, nonce]);
    socket.send(JSON.stringify({id: self, nonce, mac}));
    return hello.id;
  }
  const hello = await nextHello(socket);
  const mac = linkMac(key, ['accept', self, hello.id, hello.nonce, nonce]);
  socket.send(JSON.stringify({id: self, nonce, mac}));
  const proof = await nextHello(socket);
  const expected = linkMac(key, ['dial', hello.id, self, nonce, hello.nonce]);
  if (proof.id !== hello.id || !isSameMac(expected, proof.mac)) {
    throw new Error('handshake: the dialling instance did not prove itself');
  }
  return hello.id;
}

function nextHello(socket: WebSocket): Promise<Hello> {
  return new Promise((resolve, reject) => {
    const finish = (act: () => void): void => {
      clearTimeout(timer);
      socket.off('message', onMessage);
      socket.off('close', onClose);
      act();
    };
    const fail = (message: string): void =>
      finish(() => reject(new Error(`handshake: ${message}`)));
    const onClose = (): void => fail('the link closed');
    const onMessage = (data: Buffer): void => {
      const hello = parseHello(data);
      if (hello) {
        finish(() => resolve(hello));
      } else {
        fail('malformed hello');
      }
    };
    const timer = setTimeout(() => fail('timed out'), HANDSHAKE_TIMEOUT_MS);
    socket.on('message', onMessage);
    socket.on('close', onClose);
  });
}

function parseHello(data: Buffer): Hello | undefined {
  if (data.length > MAX_HELLO_BYTES) {
    return undefined;
  }
  try {
    const value = JSON.parse(data.toString('utf8')) as Partial<Hello> | null;
    return typeof value?.id === 'string' && typeof value.nonce === 'string'
      ? (value as Hello)
      : undefined;
  } catch {
    return undefined;
  }
}
