import type {ClaimTable, ViewMembership} from '@papayarun/claims';
import type {Keeper, Router} from '@papayarun/dispatch';
import type {Membership} from '@papayarun/membership';
import type {
  DataCentreId,
  Heartbeat,
  InstanceId,
  PeerNetwork,
} from '@papayarun/protocol';
import type {ControlStore} from '@papayarun/releases';
import type {Replica} from '@papayarun/replication';
import type {HttpApp} from '../http/http_app.js';

/**
 * Components of an instance that its status report and its gauges read.
 */
export interface InstanceComponents {
  readonly self: InstanceId;
  readonly dataCentre: DataCentreId;
  readonly state: Heartbeat['state'];
  readonly isCutOff: boolean;
  readonly network: PeerNetwork;
  readonly membership: Membership;
  readonly store: ControlStore;
  readonly replica: Replica | undefined;
  readonly keeper: Keeper;
  readonly router: Router;
  readonly claimTable: ClaimTable;
  readonly viewMembership: ViewMembership;
  readonly callerApp: HttpApp;
}
