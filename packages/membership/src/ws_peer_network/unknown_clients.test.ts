import {Socket} from 'node:net';
import {expect, it} from 'vitest';
import {UnknownClients} from './unknown_clients.js';

// Clients that connect and send nothing kept peers from connecting.
it('closes the oldest of too many connections, and none that has shown the key', () => {
  let closed = 0;
  const unknown = UnknownClients.create(() => closed++);
  const sockets = Array.from({length: 300}, () => new Socket());
  const known = sockets[0]!;
  unknown.add(known);
  unknown.remove(known);
  sockets.slice(1).forEach(socket => unknown.add(socket));
  expect(closed).toBe(299 - 256);
  expect(known.destroyed).toBe(false);
  expect(sockets.filter(socket => socket.destroyed)).toEqual(
    sockets.slice(1, 1 + closed),
  );
  unknown.closeAll();
  expect(sockets.filter(socket => !socket.destroyed)).toEqual([known]);
});
