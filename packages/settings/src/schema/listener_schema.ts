import * as z from 'zod';

const MAX_PORT = 65_535;

/**
 * Schema of an address to listen on.
 *
 * @description With port 0 the operating system chooses a free port.
 */
export const listenerSchema = z.strictObject({
  host: z.union([z.ipv4(), z.ipv6()]),
  port: z.number().int().min(0).max(MAX_PORT),
});
