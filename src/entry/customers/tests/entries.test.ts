import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as entries from '../entries.js';

function entry(name: string, keyDigests: readonly string[], change: Partial<entries.Entry> = {}): entries.Entry {
	return {
		name,
		customer: {
			name, priority: 0, operationsPerS: 10, burst: 5, keyDigests: [...keyDigests],
		},
		keyDigests,
		faults: [],
		...change,
	};
}

function digests(selection: entries.Selection): Record<string, readonly string[]> {
	return Object.fromEntries(selection.customers.map(({name, keyDigests}) => [name, keyDigests]));
}

test.test('guards against a key that two customers hold and that serves one of them', () => {
	const selection = entries.select([entry('wind', ['1', '2']), entry('tide', ['2', '3'])]);
	assert.deepEqual(digests(selection), {wind: ['1'], tide: ['3']});
	assert.deepEqual(selection.omitted, [
		'customer "wind": 1 of its keys, also listed under "tide", serve neither',
		'customer "tide": 1 of its keys, also listed under "wind", serve neither',
	]);
});

test.test('a key that an invalid entry lists as well serves neither', () => {
	const selection = entries.select([entry('wind', ['1', '2']), entry('tide', ['2'], {customer: undefined, faults: ['/perS must be > 0']})]);
	assert.deepEqual(digests(selection), {wind: ['1']});
	assert.equal(selection.omitted[0], 'customer "tide": /perS must be > 0');
});

test.test('of several entries with the same name the first holds, and its keys stay valid', () => {
	const selection = entries.select([entry('wind', ['1']), entry('wind', ['1', '4']), entry('tide', ['2'])]);
	assert.deepEqual(digests(selection), {wind: ['1'], tide: ['2']});
	assert.deepEqual(selection.omitted, ['customer "wind": an earlier entry has the same name']);
});

test.test('guards against a flood of log lines for a configuration with many invalid entries', () => {
	const invalid = Array.from({length: 5000}, (_, index) => entry(`c${index}`, [], {customer: undefined, faults: ['no usable key']}));
	const {omitted} = entries.select([...invalid, entry('wind', ['1'])]);
	assert.equal(omitted.length, 101);
	assert.equal(omitted.at(-1), '4900 further faults');
});
