/**
 * Formats a log record as a line of JSON.
 *
 * @description The event and its fields come first and those that all lines of a
 * process share come last, so that a line that is cut short still tells what
 * happened.
 * @param record - Fields of the record, with those of bunyan.
 * @returns The line, with its end.
 * @throws Never, unless a field can't be written as JSON.
 * @example
 * formatLine({name: 'papayarund', event: 7008, eventName: 'jobAnswered', jobId: 'a'});
 * // '{"eventName":"jobAnswered","event":7008,"jobId":"a","name":"papayarund"}\n'
 */
export function formatLine({
  eventName,
  event,
  time,
  level,
  name,
  instance,
  dataCentre,
  hostname,
  pid,
  msg,
  v,
  ...fields
}: Readonly<Record<string, unknown>>): string {
  const shared = {msg, instance, dataCentre, name, hostname, pid, v};
  const ordered = {time, eventName, event, level, ...fields, ...shared};
  return `${JSON.stringify(ordered)}\n`;
}
