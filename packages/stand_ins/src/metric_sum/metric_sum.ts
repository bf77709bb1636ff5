/**
 * Sums the samples of a metric over all label values.
 *
 * @param text - Metrics in the Prometheus text format.
 * @param name - Name of the metric.
 * @returns The sum; 0 when the metric has no samples.
 * @throws Never.
 * @example
 * metricSum(text, 'process_cpu_seconds_total');
 */
export function metricSum(text: string, name: string): number {
  return text
    .split('\n')
    .filter(line => line.startsWith(`${name} `) || line.startsWith(`${name}{`))
    .reduce(
      (sum, line) => sum + Number(line.slice(line.lastIndexOf(' ') + 1)),
      0,
    );
}
