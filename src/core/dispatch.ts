/**
Dispatching of requests to the owner of their group: this host or another one.
*/
import type * as types from '../generated/types.js';
import type * as errors from './errors.js';

/** Executes requests of any service, on this host or on another one. */
export abstract class Dispatcher {
	/** Executes a request. Errors: every kind that callers can receive. */
	abstract execute(request: types.Request): Promise<errors.Outcome<types.Answer>>;

	/** Rolls back the open transaction of a session, if there is one. */
	abstract endSession(service: string, session: string): Promise<void>;
}
