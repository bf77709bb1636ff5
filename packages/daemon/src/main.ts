import {readFile} from 'node:fs/promises';
import type {Settings} from '@papayarun/settings';
import {parseSettings, readKeyFile, SettingsError} from '@papayarun/settings';
import {defineCommand, runMain} from 'citty';
import {EventLogger} from './event_logger/event_logger.js';
import {Instance} from './instance/instance.js';
import type {InstanceKeys} from './instance/instance_keys.js';

/** Exit code when the settings or a key file can't be read or are invalid. */
const EXIT_BAD_SETTINGS = 2;
/** Exit code when the instance fails to start. */
const EXIT_FAILED = 1;

const command = defineCommand({
  meta: {
    name: 'papayarund',
    description: 'Runs an instance of the papayarun dispatcher.',
  },
  args: {
    settings: {
      type: 'string',
      required: true,
      description: 'Path of the JSON settings file.',
    },
  },
  run: ({args}) => startInstance(args.settings),
});

async function startInstance(settingsPath: string): Promise<void> {
  const cfg = await loadSettings(settingsPath).catch(
    exitWithCode(EXIT_BAD_SETTINGS),
  );
  const keys = await loadKeys(cfg).catch(exitWithCode(EXIT_BAD_SETTINGS));
  const logFields = {instance: cfg.instanceId, dataCentre: cfg.dataCentre};
  const log = EventLogger.create(logFields, cfg.log.level, cfg.log.decisions);
  const instance = await Instance.create(cfg, keys, log).catch(
    exitWithCode(EXIT_FAILED),
  );
  process.on('SIGHUP', () => void reloadLogSettings(settingsPath, log));
  const drain = (): void => {
    void instance.drain().then(() => process.exit(0));
  };
  process.on('SIGTERM', drain);
  process.on('SIGINT', drain);
  process.on('unhandledRejection', reason => {
    log.emit('unexpected', {
      err: reason instanceof Error ? reason.stack : String(reason),
    });
  });
}

async function loadSettings(path: string): Promise<Settings> {
  return parseSettings(await readFile(path, 'utf8'));
}

async function loadKeys(cfg: Settings): Promise<InstanceKeys> {
  const {announceKeyFile} = cfg.callers;
  return {
    peer: await readKeyFile(cfg.peers.keyFile, '$.peers.keyFile'),
    operator: await readKeyFile(cfg.operators.keyFile, '$.operators.keyFile'),
    announce:
      announceKeyFile &&
      (await readKeyFile(announceKeyFile, '$.callers.announceKeyFile')),
  };
}

/**
 * Reloads the settings file and applies the log settings, the only ones that
 * can change without a restart.
 */
async function reloadLogSettings(
  settingsPath: string,
  log: EventLogger,
): Promise<void> {
  try {
    const cfg = await loadSettings(settingsPath);
    log.configure(cfg.log.level, cfg.log.decisions);
    log.emit('settingsReloaded', {log: cfg.log});
  } catch (err) {
    log.emit('settingsRefused', {err: (err as Error).message});
  }
}

/** Returns an error handler that prints the error and ends the process. */
function exitWithCode(code: number): (err: unknown) => never {
  return err => {
    const message = err instanceof SettingsError ? err.message : String(err);
    process.stderr.write(`${message}\n`);
    process.exit(code);
  };
}

await runMain(command);
