export * from './emulated_target/emulated_target.js';
export * from './gate/gate.js';
export * from './gated_clock/gated_clock.js';
export * from './memory_disk/memory_disk.js';
export * from './memory_network/memory_network.js';
export * from './silent_log/silent_log.js';
export * from './virtual_clock/virtual_clock.js';
