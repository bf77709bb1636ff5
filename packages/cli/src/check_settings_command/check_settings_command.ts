import {parseSettings, SettingsError} from '@papayarun/settings';
import {defineCommand} from 'citty';
import {jsonArg} from '../_lib/common_args.js';
import {EXIT_CODE} from '../_lib/exit_code.js';
import {readInput} from '../_lib/read_input.js';

/**
 * Command `papayarun check-settings FILE`: validates a settings file.
 */
export const checkSettingsCommand = defineCommand({
  meta: {name: 'check-settings', description: 'Validate a settings file.'},
  args: {
    ...jsonArg,
    file: {
      type: 'positional',
      description: 'Settings file, or - for standard input.',
      required: true,
    },
  },
  run: async ({args}) => {
    const text = await readInput(args.file);
    try {
      const cfg = parseSettings(text);
      process.stdout.write(
        args.json
          ? `${JSON.stringify(cfg, null, 2)}\n`
          : 'settings are valid\n',
      );
    } catch (err) {
      if (!(err instanceof SettingsError)) {
        throw err;
      }
      process.exitCode = EXIT_CODE.usage;
      const {problems} = err;
      process.stdout.write(
        args.json
          ? `${JSON.stringify({problems}, null, 2)}\n`
          : `${err.message}\n`,
      );
    }
  },
});
