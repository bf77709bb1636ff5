import {createInterface} from 'node:readline';
import {FakeTarget} from '../fake_target/fake_target.js';

/**
 * Runs a stand-in target as a separate process.
 *
 * @description The only argument is a JSON object: the options of a FakeTarget
 * with `ports` in place of `announcePorts`. The process prints `listening` once
 * it is ready and then reads commands from standard input, one per line:
 * `leave` and `ready` announce that state, `count` prints the number of starts,
 * `end` ends the process.
 */
async function main(): Promise<void> {
  const {ports, ...opts} = JSON.parse(process.argv[2]!) as {
    ports: number[];
    targetId: string;
    service: string;
    slots: number;
  };
  const target = await FakeTarget.create({...opts, announcePorts: () => ports});
  process.stdout.write('listening\n');
  for await (const command of createInterface({input: process.stdin})) {
    switch (command) {
      case 'leave':
      case 'ready':
        target.state = command === 'leave' ? 'leaving' : 'ready';
        target.announce();
        break;
      case 'count':
        process.stdout.write(`${target.totalStarts}\n`);
        break;
      case 'end':
        process.exit(0);
    }
  }
  process.exit(0);
}

await main();
