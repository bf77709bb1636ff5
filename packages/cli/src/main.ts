import {defineCommand, runCommand, showUsage} from 'citty';
import {CallError} from './_lib/call_instance.js';
import {EXIT_CODE} from './_lib/exit_code.js';
import {UsageError} from './_lib/usage_error.js';
import {checkSettingsCommand} from './check_settings_command/check_settings_command.js';
import {jobCommand} from './job_command/job_command.js';
import {operatorCommands} from './operator_commands/operator_commands.js';
import {releaseCommand} from './release_command/release_command.js';
import {requestCommand} from './request_command/request_command.js';
import {showCommand} from './show_command/show_command.js';

const rootCommand = defineCommand({
  meta: {
    name: 'papayarun',
    description: 'Command-line interface of the papayarun dispatcher.',
  },
  subCommands: {
    'check-settings': checkSettingsCommand,
    release: releaseCommand,
    request: requestCommand,
    job: jobCommand,
    show: showCommand,
    ...operatorCommands,
  },
});

async function main(): Promise<void> {
  const rawArgs = process.argv.slice(2);
  if (rawArgs.length === 0 || rawArgs.includes('--help')) {
    await showUsage(rootCommand);
    return;
  }
  try {
    await runCommand(rootCommand, {rawArgs});
  } catch (err) {
    process.exitCode = exitCodeOfError(err);
    process.stderr.write(`${(err as Error).message}\n`);
  }
}

function exitCodeOfError(err: unknown): number {
  if (err instanceof CallError) {
    return err.connected ? EXIT_CODE.mayHaveRun : EXIT_CODE.notRun;
  }
  const isUsageError =
    err instanceof UsageError || (err as Error).name === 'CLIError';
  return isUsageError ? EXIT_CODE.usage : EXIT_CODE.failed;
}

await main();
