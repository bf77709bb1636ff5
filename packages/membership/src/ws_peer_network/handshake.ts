import {randomBytes} from 'node:crypto';
import type {InstanceId} from '@papayarun/protocol';
import {decodeJson} from '@papayarun/protocol';
import type {WebSocket} from 'ws';
import {isMacEqual, linkMac} from '../_lib/link_mac.js';
import type {MessageInbox} from './message_inbox.js';

const NONCE_BYTES = 18;
const HANDSHAKE_TIMEOUT_MS = 2_000;
const MAX_HELLO_BYTES = 1_024;

interface Hello {
  readonly id: InstanceId;
  readonly nonce: string;
  readonly mac?: string;
}

/**
 * Authenticates both ends of a new link by mutual challenge and response.
 *
 * @description Each side sends its name and a fresh nonce, then proves with
 * a MAC under the shared key that it has received the other's nonce. The key
 * is never sent, and a recorded handshake can't be replayed. There are three
 * messages: the dialling side's hello, the accepting side's hello with its MAC,
 * and the dialling side's MAC.
 * @param socket - Open socket.
 * @param inbox - Messages of the socket.
 * @param self - Id of this instance.
 * @param key - Shared key.
 * @param expectedPeer - Peer that was dialled, or undefined when accepting.
 * @returns Authenticated id of the peer.
 * @throws Error when the peer fails to authenticate in time.
 * @example
 * const peer = await handshake(socket, inbox, self, key, undefined);
 */
export async function handshake(
  socket: WebSocket,
  inbox: MessageInbox,
  self: InstanceId,
  key: string,
  expectedPeer: InstanceId | undefined,
): Promise<InstanceId> {
  const nonce = randomBytes(NONCE_BYTES).toString('base64');
  if (expectedPeer !== undefined) {
    socket.send(JSON.stringify({id: self, nonce}));
    const hello = await nextHello(socket, inbox);
    const expectedMac = linkMac(key, [
      'accept',
      hello.id,
      self,
      nonce,
      hello.nonce,
    ]);
    if (hello.id !== expectedPeer || !isMacEqual(expectedMac, hello.mac)) {
      throw new Error(
        `handshake: ${expectedPeer} failed to authenticate with the shared key`,
      );
    }
    const mac = linkMac(key, ['dial', self, hello.id, hello.nonce, nonce]);
    socket.send(JSON.stringify({id: self, nonce, mac}));
    return hello.id;
  }
  const hello = await nextHello(socket, inbox);
  const mac = linkMac(key, ['accept', self, hello.id, hello.nonce, nonce]);
  socket.send(JSON.stringify({id: self, nonce, mac}));
  const proofHello = await nextHello(socket, inbox);
  const expectedMac = linkMac(key, [
    'dial',
    hello.id,
    self,
    nonce,
    hello.nonce,
  ]);
  if (proofHello.id !== hello.id || !isMacEqual(expectedMac, proofHello.mac)) {
    throw new Error(
      'handshake: the dialling instance failed to authenticate with the shared key',
    );
  }
  return hello.id;
}

function nextHello(socket: WebSocket, inbox: MessageInbox): Promise<Hello> {
  return new Promise((resolve, reject) => {
    const finish = (settle: () => void): void => {
      clearTimeout(timer);
      socket.off('close', onClose);
      settle();
    };
    const fail = (message: string): void =>
      finish(() => reject(new Error(`handshake: ${message}`)));
    const onClose = (): void => fail('the link closed before a hello arrived');
    const onMessage = (data: Buffer): void => {
      const hello = parseHello(data);
      if (hello) {
        finish(() => resolve(hello));
      } else {
        fail('malformed hello');
      }
    };
    const timer = setTimeout(
      () => fail('timed out waiting for a hello'),
      HANDSHAKE_TIMEOUT_MS,
    );
    socket.on('close', onClose);
    void inbox.next().then(onMessage);
  });
}

function parseHello(data: Buffer): Hello | undefined {
  if (data.length > MAX_HELLO_BYTES) {
    return undefined;
  }
  try {
    const value = decodeJson(data) as Partial<Hello> | null;
    return typeof value?.id === 'string' && typeof value.nonce === 'string'
      ? (value as Hello)
      : undefined;
  } catch {
    return undefined;
  }
}
