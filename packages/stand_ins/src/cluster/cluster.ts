import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {DaemonProcess} from '../daemon_process/daemon_process.js';
import type {HttpResult} from '../http_call/http_call.js';
import {httpCall} from '../http_call/http_call.js';
import {Relay} from '../relay/relay.js';
import type {RelayMode} from '../relay/relay.js';
import {waitUntil} from '../wait_until/wait_until.js';
import type {ClusterMember} from './cluster_member.js';

const OPERATOR_KEY = 'operator-key-of-the-stand-ins';
const PEER_KEY = 'peer-key-of-the-stand-ins';
/** Maximum wait until the release log is formed or an instance is ready. */
const READY_TIMEOUT_MS = 20_000;

/** Settings that override the defaults, by section. */
export interface ClusterSettings {
  readonly timing?: Readonly<Record<string, number>>;
  readonly limits?: Readonly<Record<string, number>>;
  readonly log?: Readonly<Record<string, unknown>>;
}

/**
 * Cluster of real daemon processes whose peer connections run through relays.
 */
export class Cluster {
  /** Running daemons by instance id. */
  readonly daemons = new Map<string, DaemonProcess>();
  /** Relays by the two instance ids of the link, lower id first. */
  private readonly relays = new Map<string, Relay>();

  private constructor(
    readonly folder: string,
    readonly members: readonly ClusterMember[],
    private readonly settings: ClusterSettings,
  ) {}

  /**
   * Creates the folder, keys and relays; starts no daemon.
   *
   * @param members - Instances of the cluster.
   * @param settings - Settings that override the defaults.
   * @returns The cluster.
   * @example
   * const cluster = await Cluster.create(members, {});
   */
  static async create(
    members: readonly ClusterMember[],
    settings: ClusterSettings,
  ): Promise<Cluster> {
    const folder = await mkdtemp(join(tmpdir(), 'papayarun-'));
    const cluster = new Cluster(folder, members, settings);
    await writeFile(join(folder, 'operator.key'), OPERATOR_KEY);
    await writeFile(join(folder, 'peer.key'), PEER_KEY);
    for (const lower of members) {
      for (const higher of members) {
        if (lower.id < higher.id) {
          const relay = await Relay.create(
            () => cluster.daemons.get(higher.id)?.ports.peersPort,
          );
          cluster.relays.set(`${lower.id} ${higher.id}`, relay);
        }
      }
    }
    return cluster;
  }

  /**
   * Starts all instances, forms the release log and waits until all are ready.
   */
  async startAll(): Promise<void> {
    await Promise.all(this.members.map(member => this.start(member.id)));
    await waitUntil('the release log is formed', READY_TIMEOUT_MS, async () => {
      const res = await this.callOperatorApi(
        this.members[0]!.id,
        'POST',
        '/v1/cluster',
      );
      return res.status === 200;
    });
    await this.waitUntilAllReady();
  }

  /** Waits until all running instances are ready; see `ready`. */
  async waitUntilAllReady(): Promise<void> {
    for (const id of this.daemons.keys()) {
      await this.waitUntilReady(id);
    }
  }

  /**
   * Waits until an instance is ready, it is a synced member of its
   * claim view, and that view contains all running instances of its data centre.
   */
  async waitUntilReady(id: string): Promise<void> {
    await waitUntil(`${id} is ready`, READY_TIMEOUT_MS, async () => {
      const status = await this.fetchStatus(id);
      const {dataCentre} = this.member(id);
      const localMembers = this.members.filter(
        m => m.dataCentre === dataCentre,
      );
      const runningCount = localMembers.filter(m =>
        this.daemons.has(m.id),
      ).length;
      const view = status['view'] as {members: unknown[]} | undefined;
      return (
        status['state'] === 'ready' &&
        status['seat'] === 'synced' &&
        view?.members.length === runningCount
      );
    });
  }

  /** Writes the settings file of an instance and starts it. */
  async start(id: string): Promise<DaemonProcess> {
    const path = join(this.folder, `${id}.json`);
    await writeFile(
      path,
      JSON.stringify(this.settingsOf(this.member(id)), null, 2),
    );
    const daemon = await DaemonProcess.create(path);
    this.daemons.set(id, daemon);
    return daemon;
  }

  /** Kills an instance by SIGKILL and closes its peer connections. */
  async kill(id: string): Promise<void> {
    const daemon = this.daemon(id);
    this.daemons.delete(id);
    await daemon.kill();
    this.dropConnectionsOf(id);
  }

  /** Terminates an instance by SIGTERM and returns its exit code. */
  async terminate(id: string): Promise<number | null | undefined> {
    const daemon = this.daemon(id);
    daemon.signal('SIGTERM');
    await daemon.waitForExit();
    this.daemons.delete(id);
    return daemon.exitCode;
  }

  /** Deletes an instance's data folder, as when its disk is lost. */
  async deleteDataDir(id: string): Promise<void> {
    await rm(this.dataDirOf(id), {recursive: true, force: true});
  }

  dataDirOf(id: string): string {
    return join(this.folder, 'data', id);
  }

  daemon(id: string): DaemonProcess {
    const daemon = this.daemons.get(id);
    if (!daemon) {
      throw new Error(`instance ${id} is not running`);
    }
    return daemon;
  }

  /** Sets the relay mode of the link between two instances. */
  setLinkMode(a: string, b: string, mode: RelayMode): void {
    const relay = this.relays.get(a < b ? `${a} ${b}` : `${b} ${a}`)!;
    const wasCut = relay.mode !== 'pass';
    relay.mode = mode;
    if (mode === 'pass' && wasCut) {
      relay.dropConnections();
    }
  }

  /**
   * Sets the relay mode of all links between a group and the other instances.
   */
  setLinkModes(group: readonly string[], mode: RelayMode): void {
    for (const groupMember of group) {
      for (const {id} of this.members) {
        if (!group.includes(id)) {
          this.setLinkMode(groupMember, id, mode);
        }
      }
    }
  }

  callersPort(id: string): number {
    return this.daemon(id).ports.callersPort;
  }

  /**
   * Ports for callers and targets of all running instances, optionally of one
   * data centre only.
   */
  callersPorts(dataCentre?: string): number[] {
    return this.members
      .filter(m => dataCentre === undefined || m.dataCentre === dataCentre)
      .flatMap(m => this.daemons.get(m.id)?.ports.callersPort ?? []);
  }

  /** Calls the operator API of an instance. */
  callOperatorApi(
    id: string,
    method: string,
    path: string,
    body?: unknown,
  ): Promise<HttpResult> {
    return httpCall({
      port: this.daemon(id).ports.operatorsPort,
      method,
      path,
      headers: {
        authorization: `Bearer ${OPERATOR_KEY}`,
        'content-type': 'application/json',
      },
      body: body === undefined ? undefined : JSON.stringify(body),
      timeoutMs: 15_000,
    });
  }

  async fetchStatus(id: string): Promise<Record<string, unknown>> {
    const res = await this.callOperatorApi(id, 'GET', '/v1/status');
    return JSON.parse(res.text) as Record<string, unknown>;
  }

  /**
   * Prefix for idempotency keys whose home is the data centre of an instance.
   */
  async fetchIdPrefix(id: string): Promise<string> {
    const res = await httpCall({
      port: this.callersPort(id),
      method: 'GET',
      path: '/v1/id-prefix',
    });
    const {prefix} = JSON.parse(res.text) as {prefix?: string};
    if (prefix === undefined) {
      throw new Error(res.text);
    }
    return prefix;
  }

  /** Kills all daemons, closes the relays and deletes all files. */
  async close(): Promise<void> {
    await Promise.all([...this.daemons.values()].map(daemon => daemon.kill()));
    this.daemons.clear();
    await Promise.all([...this.relays.values()].map(relay => relay.close()));
    await rm(this.folder, {recursive: true, force: true});
  }

  private dropConnectionsOf(id: string): void {
    for (const [pair, relay] of this.relays) {
      if (pair.split(' ').includes(id)) {
        relay.dropConnections();
      }
    }
  }

  private member(id: string): ClusterMember {
    const member = this.members.find(m => m.id === id);
    if (!member) {
      throw new Error(`cluster has no member ${id}`);
    }
    return member;
  }

  private settingsOf(self: ClusterMember): Record<string, unknown> {
    const listener = {host: '127.0.0.1', port: 0};
    const members = this.members.map(m => ({
      instanceId: m.id,
      dataCentre: m.dataCentre,
      host: '127.0.0.1',
      port: m.id === self.id ? 1 : this.relayPort(self.id, m.id),
      replica: m.replica,
    }));
    return {
      instanceId: self.id,
      dataCentre: self.dataCentre,
      region: 'vale-sul',
      callers: listener,
      operators: {...listener, keyFile: join(this.folder, 'operator.key')},
      peers: {...listener, keyFile: join(this.folder, 'peer.key'), members},
      ...(self.replica ? {dataDir: this.dataDirOf(self.id)} : {}),
      ...this.settings,
    };
  }

  private relayPort(a: string, b: string): number {
    return this.relays.get(a < b ? `${a} ${b}` : `${b} ${a}`)!.port;
  }
}
