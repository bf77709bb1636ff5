export * from './claim_table/claim_table.js';
export * from './claims/claims.js';
export * from './claims/claims_options.js';
export * from './seat/seat.js';
export * from './view_keeper/live_member.js';
export * from './view_keeper/next_view_members.js';
export * from './view_keeper/view_keeper.js';
