/**
Where a request is executed: by this host or by another owner of the group.
*/
import type * as types from '../generated/types.js';
import type * as errors from './errors.js';

/** Executes requests of any service, here or elsewhere. */
export abstract class Dispatcher {
	/** Executes a request. Errors: any that reaches callers. */
	abstract execute(request: types.Request): Promise<errors.Outcome<types.Answer>>;

	/** Ends what a session has open, after its caller has gone. */
	abstract endSession(service: string, session: string): Promise<void>;
}
