// A process that only computes, so that others are short of processor time. It
// ends by itself after the seconds of its argument.
import process from 'node:process';

const UNITS = 1e6;
const untilMs = Date.now() + Number(process.argv[2]) * 1_000;
let state = 1;
while (Date.now() < untilMs) {
  for (let i = 0; i < UNITS; i++) {
    state = (state * 1_103_515_245 + 12_345) & 0x7fffffff;
  }
}
