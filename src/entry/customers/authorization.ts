/**
Whether a session may be opened with a key, and whether it may go on under a newer version of the configuration.
*/
import type * as types from '../../generated/types.js';
import type * as directories from './directory.js';

/**
How a session is admitted: as a customer's, whose key it has, on a route that needs no key, or while the deployment has no
customers.
*/
export type Grant =
	| {readonly kind: 'customer'; readonly customer: directories.Customer}
	| {readonly kind: 'public'}
	| {readonly kind: 'unrestricted'};

/**
Returns how a session is admitted under the customers of a version; `undefined` if it is not. Without a route, which a
version may have removed, the key decides.

@example
```
authorization.authorize(deployment.customers, deployment.route('lepu270'), directories.digest(key));
```
*/
export function authorize(customers: directories.Directory | undefined, route: types.Route | undefined, keyDigest: string): Grant | undefined {
	if (!customers) {
		return {kind: 'unrestricted'};
	}

	if (route?.isPublic) {
		return {kind: 'public'};
	}

	const customer = customers.find(keyDigest);
	return customer && {kind: 'customer', customer};
}

/**
Whether a session that was admitted by `opened` may go on, if it would be admitted by `current` now. A transaction that was
opened without a customer can't go on as a customer's, since its connection to the server has another name.
*/
export function mayContinue(opened: Grant, current: Grant | undefined, hasTransaction: boolean): boolean {
	switch (current?.kind) {
		case undefined: {
			return false;
		}

		case 'unrestricted':
		case 'public': {
			return true;
		}

		case 'customer': {
			return opened.kind === 'customer' ? opened.customer.name === current.customer.name : opened.kind === 'unrestricted' && !hasTransaction;
		}
	}
}

/** Name of the customer of a session; `undefined` if it has none. */
export function customerName(grant: Grant | undefined): string | undefined {
	return grant?.kind === 'customer' ? grant.customer.name : undefined;
}
