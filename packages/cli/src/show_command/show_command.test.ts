import type {CommandDef} from 'citty';
import {describe, expect, it} from 'vitest';
import {showCommand} from './show_command.js';

describe('showCommand', () => {
  it.each(['targets', 'workers'])(
    'names the keeper of %s by the word of the glossary',
    name => {
      const {subCommands} = showCommand as {
        readonly subCommands: Readonly<Record<string, CommandDef>>;
      };
      expect(subCommands[name]!.meta).toMatchObject({
        description: expect.stringContaining('keeper') as string,
      });
    },
  );
});
