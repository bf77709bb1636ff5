import type {DataCentreId} from '../ids/data_centre_id.js';
import type {InstanceId} from '../ids/instance_id.js';
import type {InstanceRole} from './instance_role.js';

/**
 * An instance from which another one has received messages.
 */
export interface KnownInstance {
  readonly instanceId: InstanceId;
  readonly dataCentre: DataCentreId;
  readonly role: InstanceRole;
}
