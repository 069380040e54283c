/**
Public interface of sycamorering, a database proxy with session consistency.
*/
export * as clock from './core/clock.js';
export * as errors from './core/errors.js';
export * as position from './core/position.js';
export * as settings from './core/settings.js';
export * as host from './host/host.js';
export * as operator from './operator/operator.js';
export * as caller from './caller/caller.js';
