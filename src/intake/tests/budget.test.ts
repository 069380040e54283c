import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as fc from 'fast-check';
import * as budgets from '../budget.js';
import * as connection from './fake-inbound.js';

const limitBytes = 1_000_000;

function open(budget: budgets.Budget): {readonly account: budgets.Account; readonly owner: connection.Connection} {
	const owner = new connection.Connection();
	const account = budget.open(owner);
	owner.account = account;
	return {account, owner};
}

// Guards against a flood that closes the sessions of ordinary callers.
test.test('over the limit the largest account is closed, and small ones stay', () => {
	const budget = new budgets.Budget(limitBytes);
	const small = Array.from({length: 5}, () => open(budget));
	for (const {account} of small) {
		account.set('input', 60_000);
	}

	const [first, second] = [open(budget), open(budget)];
	first.account.set('input', 500_000);
	second.account.set('input', 300_000);
	assert.deepEqual([first.owner.causes, second.owner.causes], [['memory'], []]);
	assert.ok(small.every(({owner}) => owner.causes.length === 0));
	assert.equal(budget.usedBytes, 600_000);
});

// Guards against an overrun by many small accounts, where no large one is left.
test.test('many small accounts together stay within the limit', () => {
	const budget = new budgets.Budget(limitBytes);
	const small = Array.from({length: 40}, () => open(budget));
	for (const {account} of small) {
		account.set('input', 60_000);
	}

	assert.ok(budget.usedBytes <= limitBytes);
});

// Guards against connections that stop reading and never go on.
test.test('large accounts stop reading while the budget is tight and are told when it is not', () => {
	const budget = new budgets.Budget(limitBytes);
	const [first, second, small] = [open(budget), open(budget), open(budget)];
	first.account.set('input', 400_000);
	assert.equal(first.account.isPaused, false);
	second.account.set('input', 300_000);
	small.account.set('input', 1000);
	assert.deepEqual([first, second, small].map(({account}) => account.isPaused), [true, true, false]);
	second.account.close();
	assert.equal(first.account.isPaused, false);
	assert.equal(first.owner.resumed, 1);
});

// Guards against half messages that hold the budget for ever, since they don't end by themselves.
test.test('the largest accounts are closed until the budget is not tight', () => {
	const budget = new budgets.Budget(limitBytes);
	const opened = [100_000, 300_000, 350_000].map(bytes => {
		const added = open(budget);
		added.account.set('input', bytes);
		return added;
	});
	budget.shedLargest();
	assert.deepEqual(opened.map(({owner}) => owner.causes.length), [0, 0, 1]);
	budget.shedLargest();
	assert.deepEqual(opened.map(({owner}) => owner.causes.length), [0, 0, 1]);
});

// Guards against large requests that exhaust the memory together, and against one that waits for room that nobody frees.
test.test('large requests begin in order as far as there is room, and one always does', async () => {
	const budget = new budgets.Budget(limitBytes);
	const [first, second, third, small] = [open(budget), open(budget), open(budget), open(budget)];
	assert.equal(first.account.begin(220_000), undefined);
	const begun: string[] = [];
	const waiting = [second, third].map(async ({account}, index) => {
		await account.begin(150_000);
		begun.push(`request ${index}`);
	});
	assert.equal(small.account.begin(1000), undefined);
	await Promise.resolve();
	assert.deepEqual(begun, []);
	first.account.set('request', 0);
	await Promise.resolve();
	await Promise.resolve();
	assert.deepEqual(begun, ['request 0']);
	third.account.close();
	await Promise.all(waiting);
	assert.equal(budget.usedBytes, (150_000 + 1000) * 4);
});

// Guards against a session whose state takes the memory of all, and against a refusal that counts as kept.
test.test('state that does not fit is refused and not counted', () => {
	const budget = new budgets.Budget(limitBytes);
	const [first, second] = [open(budget), open(budget)];
	assert.equal(first.account.keep(500_000), true);
	assert.equal(second.account.keep(200_000), false);
	assert.equal(second.account.bytes, 0);
	assert.equal(second.account.keep(2000), true);
	assert.equal(first.account.keep(100), true);
	assert.equal(budget.usedBytes, 2100);
});

// Guards against a count that drifts from what the accounts hold, so that the budget leaks or grows.
test.test('the budget is the sum of its accounts and never exceeded, whatever they do', () => {
	const step = fc.record({
		index: fc.nat(9), kind: fc.constantFrom<budgets.Kind>('input', 'request', 'output', 'state'), bytes: fc.nat(300_000), isClosed: fc.boolean(),
	});
	fc.assert(fc.property(fc.array(step, {maxLength: 60}), steps => {
		const budget = new budgets.Budget(limitBytes);
		const opened = Array.from({length: 10}, () => open(budget));
		for (const {index, kind, bytes, isClosed} of steps) {
			const {account, owner} = opened[index];
			if (isClosed && bytes < 30_000) {
				account.close();
				opened[index] = open(budget);
			} else if (owner.causes.length === 0) {
				account.set(kind, bytes);
			}

			const remaining = opened.filter(({owner: other}) => other.causes.length === 0);
			assert.equal(budget.usedBytes, remaining.reduce((sum, {account: {bytes: held}}) => sum + held, 0));
			assert.ok(budget.usedBytes <= limitBytes);
		}
	}), {seed: 38, numRuns: 300});
});
