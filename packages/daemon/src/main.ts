import {readFile} from 'node:fs/promises';
import type {Settings} from '@papayarun/settings';
import {parseSettings, readKeyFile, SettingsError} from '@papayarun/settings';
import {defineCommand, runMain} from 'citty';
import {EventLogger} from './event_logger/event_logger.js';
import {Instance} from './instance/instance.js';
import type {InstanceKeys} from './instance/instance_keys.js';

const EXIT_BAD_SETTINGS = 2;
const EXIT_FAILED = 1;

const command = defineCommand({
  meta: {
    name: 'papayarund',
    description: 'Instance of the papayarun dispatcher.',
  },
  args: {
    settings: {
      type: 'string',
      required: true,
      description: 'Path of the JSON settings file.',
    },
  },
  run: ({args}) => run(args.settings),
});

async function run(path: string): Promise<void> {
  const cfg = await loadSettings(path).catch(exitWith(EXIT_BAD_SETTINGS));
  const keys = await loadKeys(cfg).catch(exitWith(EXIT_BAD_SETTINGS));
  const fields = {instance: cfg.instanceId, dataCentre: cfg.dataCentre};
  const log = EventLogger.create(fields, cfg.log.level, cfg.log.decisions);
  const instance = await Instance.create(cfg, keys, log).catch(
    exitWith(EXIT_FAILED),
  );
  process.on('SIGHUP', () => void reload(path, log));
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

/** Takes over what may change without a restart: the log settings. */
async function reload(path: string, log: EventLogger): Promise<void> {
  try {
    const cfg = await loadSettings(path);
    log.configure(cfg.log.level, cfg.log.decisions);
    log.emit('settingsReloaded', {log: cfg.log});
  } catch (err) {
    log.emit('settingsRefused', {err: (err as Error).message});
  }
}

function exitWith(code: number): (err: unknown) => never {
  return err => {
    const text = err instanceof SettingsError ? err.message : String(err);
    process.stderr.write(`${text}\n`);
    process.exit(code);
  };
}

await runMain(command);
