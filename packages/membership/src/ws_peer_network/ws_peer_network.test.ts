import type {Socket} from 'node:net';
import type {InstanceId, JobId} from '@papayarun/protocol';
import {SeededRandom, SystemClock} from '@papayarun/protocol';
import {afterEach, describe, expect, it} from 'vitest';
import {WebSocket} from 'ws';
import {WsPeerNetwork} from './ws_peer_network.js';

const HOST = '127.0.0.1';
const MESSAGES = 500;
const MAX_TURNS = 50;
const NOTICE = {jobId: '5c0e7a21d94b36f8' as JobId};

function openNetwork(self: string): Promise<WsPeerNetwork> {
  const ignore = (): void => undefined;
  return WsPeerNetwork.create(
    {
      self: self as InstanceId,
      key: 'key',
      peers: [],
      acceptsUnknownPeers: true,
      clock: SystemClock.create(),
      random: SeededRandom.create(1),
      observer: {
        linkUp: ignore,
        linkDown: ignore,
        linkRefused: ignore,
        sent: ignore,
      },
      maxFrameBytes: 1 << 20,
      maxBufferedBytes: 1 << 20,
      linkTimeoutMs: () => 5_000,
      linkCheckMs: 1_000,
    },
    {host: HOST, port: 0},
  );
}

async function connect(from: WsPeerNetwork, to: WsPeerNetwork): Promise<void> {
  from.start();
  to.start();
  from.addDiscoveredPeer({
    instanceId: to.self,
    dataCentre: '' as never,
    host: HOST,
    port: to.port,
    replica: false,
  });
  while (
    from.connectedPeers().length === 0 ||
    to.connectedPeers().length === 0
  ) {
    await new Promise(resolve => setTimeout(resolve, 5));
  }
}

describe('WsPeerNetwork', () => {
  const networks: WsPeerNetwork[] = [];

  afterEach(async () => {
    await Promise.all(networks.splice(0).map(network => network.stop()));
  });

  // One message of a link in each turn of the loop let a busy scheduler fall
  // behind its peers for good.
  it('delivers all messages that have arrived, not one in each turn of the event loop', async () => {
    const [sender, receiver] = [await openNetwork('a'), await openNetwork('b')];
    networks.push(sender, receiver);
    await connect(sender, receiver);
    let received = 0;
    receiver.onNotice('cancelJob', () => received++);
    for (let n = 0; n < MESSAGES; n++) {
      sender.notify(receiver.self, 'cancelJob', NOTICE);
    }
    while (received === 0) {
      await new Promise(resolve => setImmediate(resolve));
    }
    let turns = 0;
    while (received < MESSAGES) {
      await new Promise(resolve => setImmediate(resolve));
      turns++;
    }
    expect(turns).toBeLessThan(MAX_TURNS);
  });

  it('loses no message that arrives together with the end of the handshake', async () => {
    for (let n = 0; n < 20; n++) {
      const [a, b] = [await openNetwork('a'), await openNetwork(`b${n}`)];
      networks.push(a, b);
      let received = 0;
      for (const network of [a, b]) {
        network.onNotice('cancelJob', () => received++);
      }
      const sent = new Set<WsPeerNetwork>();
      const sendOnLink = setInterval(() => {
        for (const [from, to] of [
          [a, b],
          [b, a],
        ] as const) {
          if (!sent.has(from) && from.connectedPeers().length > 0) {
            sent.add(from);
            from.notify(to.self, 'cancelJob', NOTICE);
          }
        }
      }, 0);
      await connect(a, b);
      while (received < 2) {
        await new Promise(resolve => setTimeout(resolve, 1));
      }
      clearInterval(sendOnLink);
      expect(received).toBe(2);
    }
  });

  it('keeps a link on which a notice of a later version arrives', async () => {
    const [a, b] = [await openNetwork('a'), await openNetwork('b')];
    networks.push(a, b);
    await connect(a, b);
    let received = 0;
    b.onNotice('cancelJob', () => received++);
    a.notify(b.self, 'noticeOfLaterVersion' as 'cancelJob', NOTICE);
    a.notify(b.self, 'cancelJob', NOTICE);
    while (received === 0) {
      await new Promise(resolve => setTimeout(resolve, 1));
    }
    expect(b.connectedPeers()).toEqual([a.self]);
  });

  it('dials a peer again when the link that the peer had dialled is lost', async () => {
    const [a, b] = [await openNetwork('a'), await openNetwork('b')];
    networks.push(a, b);
    await connect(a, b);
    b.addDiscoveredPeer({
      instanceId: a.self,
      dataCentre: '' as never,
      host: HOST,
      port: a.port,
      replica: false,
    });
    a.removeDiscoveredPeer(b.self);
    await new Promise(resolve => setTimeout(resolve, 300));
    // Closes the only link, which `a` had dialled and no longer dials.
    for (const socket of acceptedSockets(b)) {
      socket.terminate();
    }
    await new Promise(resolve => setTimeout(resolve, 20));
    while (b.connectedPeers().length === 0) {
      await new Promise(resolve => setTimeout(resolve, 5));
    }
    expect(b.connectedPeers()).toEqual(['a']);
  });
});

// A client without the key could send as much as a peer, 32 MiB for each connection.
it('reads no more than a handshake from a client that has not shown the key', async () => {
  const network = await openNetwork('a');
  network.start();
  const client = new WebSocket(`ws://${HOST}:${network.port}`);
  const closed = new Promise<void>(resolve => client.once('close', resolve));
  client.on('error', () => undefined);
  await new Promise<void>(resolve => client.once('open', resolve));
  const [accepted] = acceptedSockets(network);
  client.send(Buffer.alloc(900_000));
  await closed;
  const raw = (accepted as unknown as {_socket: Socket | null})._socket;
  expect(raw?.bytesRead ?? 0).toBeLessThan(200_000);
  expect(network.connectedPeers()).toEqual([]);
  await network.stop();
});

/** Sockets of the links that other instances have dialled. */
function acceptedSockets(network: WsPeerNetwork): Iterable<WebSocket> {
  return (network as unknown as {server: {clients: Set<WebSocket>}}).server
    .clients;
}
