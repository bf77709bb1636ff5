import {readFile} from 'node:fs/promises';
import {describe, expect, it} from 'vitest';
import {EVENT_CATALOGUE} from './event_catalogue.js';

describe('EVENT_CATALOGUE', () => {
  it('uses each number once', () => {
    const numbers = Object.values(EVENT_CATALOGUE).map(event => event.number);
    expect(new Set(numbers).size).toBe(numbers.length);
  });

  it('matches the rows of docs/EVENTS.md', async () => {
    const page = await readFile(
      new URL('../../../../docs/EVENTS.md', import.meta.url),
      'utf8',
    );
    for (const [name, {number, level, text}] of Object.entries(
      EVENT_CATALOGUE,
    )) {
      expect(page).toContain(`| ${number} | ${name} | ${level} | ${text} |`);
    }
    expect(page.split('\n').filter(line => /^\| \d/.test(line)).length).toBe(
      Object.keys(EVENT_CATALOGUE).length,
    );
  });

  it('names the keeper of a target by the word of the glossary', () => {
    const {targetAdded, targetGone} = EVENT_CATALOGUE;
    for (const {text} of [targetAdded, targetGone]) {
      expect(text).toContain('keeper');
    }
  });
});
