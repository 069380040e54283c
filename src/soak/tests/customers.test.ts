import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as clock from '../../core/clock.js';
import * as contacts from '../contact.js';
import * as soakCustomers from '../customers.js';

/** Customers whose only caller sends operations at host 0. */
function create(): {time: clock.Manual; customers: soakCustomers.Customers} {
	const time = new clock.Manual();
	return {time, customers: new soakCustomers.Customers(time, new contacts.Contact(time), 2)};
}

function send(customers: soakCustomers.Customers, id: string, sentAt: number, customer = 0): void {
	customers.recordRequest({
		id, operation: id, customer, key: customers.key(customer), host: 0, sentAt,
	});
}

test.test('a statement on the connection of another customer is found', () => {
	const {customers} = create();
	send(customers, 'a', 0);
	customers.recordExecution('a', 'customer-1');
	assert.equal(customers.violations.length, 1);
});

test.test('an execution under a removed key is found if it was sent after the bound', async () => {
	const {time, customers} = create();
	const key = customers.key(0);
	customers.replaceKey(0);
	await time.advance(4000);
	customers.recordRequest({
		id: 'a', operation: 'a', customer: 0, key, host: 0, sentAt: time.now(),
	});
	customers.recordExecution('a', 'customer-0');
	assert.match(customers.violations.join('\n'), /^revoked: a was sent 4000 ms/v);
});

/** The most operations that the quota of the first customer allows in a window. */
const maxOperations = 72;

function execute(customers: soakCustomers.Customers, count: number, sentAt: number): void {
	for (let index = 0; index < count; index++) {
		send(customers, `${sentAt}-${index}`, sentAt);
		customers.recordExecution(`${sentAt}-${index}`, 'customer-0');
	}
}

test.test('as many operations as the quota allows in each of two windows are no violation', async () => {
	const {time, customers} = create();
	execute(customers, maxOperations, time.now());
	await time.advance(5001);
	execute(customers, maxOperations, time.now());
	customers.checkQuotas();
	assert.deepEqual(customers.violations, []);
});

test.test('one operation more than the quota allows in a window is found', () => {
	const {time, customers} = create();
	execute(customers, maxOperations + 1, time.now());
	customers.checkQuotas();
	assert.match(customers.violations.join(','), /^quota: 73 operations of customer-0/v);
});
