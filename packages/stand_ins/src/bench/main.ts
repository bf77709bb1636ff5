import {claimBench} from './claim_bench.js';
import {floodBench} from './flood_bench.js';
import {responseBench} from './response_bench.js';

/** Benches by name; each returns whether its bounds held. */
const BENCHES: Readonly<Record<string, () => Promise<boolean>>> = {
  response: () => responseBench(0.7, 0),
  'response-90': () => responseBench(0.9, 0),
  claims: () => claimBench(),
  skew: () => responseBench(0.7, 0.8),
  'flood-low': () =>
    floodBench([
      {urgency: 0, callers: 1},
      {urgency: 0, callers: 50},
    ]),
  'flood-high': () =>
    floodBench([
      {urgency: 3, callers: 1},
      {urgency: 3, callers: 50},
    ]),
};

async function main(): Promise<void> {
  const requested = process.argv.slice(2);
  const names = requested.length > 0 ? requested : Object.keys(BENCHES);
  let allHeld = true;
  for (const name of names) {
    const bench = BENCHES[name];
    if (!bench) {
      process.stderr.write(
        `unknown bench ${name}; available benches: ${Object.keys(BENCHES).join(', ')}\n`,
      );
      process.exit(2);
    }
    process.stdout.write(`\n${name}\n`);
    allHeld = (await bench()) && allHeld;
  }
  process.exit(allHeld ? 0 : 1);
}

await main();
