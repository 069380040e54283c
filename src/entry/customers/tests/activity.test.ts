import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as activities from '../activity.js';
import * as directories from '../directory.js';

function directory(count: number): directories.Directory {
	return new directories.Directory(Array.from({length: count}, (_, index) => ({
		name: `c${index}`, priority: 0, operationsPerS: index + 1, burst: 1, keyDigests: [`${index}`],
	})));
}

// Guards against metrics whose number grows with that of the customers.
test.test('the 20 customers with the highest rates have their own label, the others share one', () => {
	const customers = directory(74);
	const activity = new activities.Activity(() => customers);
	for (const {name} of customers.customers) {
		activity.admitted(name);
		activity.opened(name);
		activity.refused(name, 'busy');
		activity.refused(name, 'over-quota');
	}

	activity.refused(undefined, 'unauthorized');
	const values = new Map(activity.operations.map(({labels, value}) => [labels.customer, value]));
	assert.equal(values.size, 21);
	assert.deepEqual([values.get('c73'), values.get('c54'), values.get('c53'), values.get('other')], [1, 1, undefined, 54]);
	assert.equal(activity.sessions.length, 21);
	assert.equal(activity.refusals.length, (2 * 21) + 1);
	assert.deepEqual(activity.refusals.filter(({labels}) => labels.cause === 'unauthorized'), [{labels: {customer: 'unknown', cause: 'unauthorized'}, value: 1}]);
});

test.test('a session that ends is no longer counted as open, and a removed customer is among the others', () => {
	let customers = directory(3);
	const activity = new activities.Activity(() => customers);
	activity.opened('c2');
	activity.opened('c2');
	activity.closed('c2');
	assert.deepEqual(activity.sessions, [{labels: {customer: 'c2'}, value: 1}]);
	customers = directory(2);
	assert.deepEqual(activity.sessions, [{labels: {customer: 'other'}, value: 1}]);
});
