import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import type * as types from '../../generated/types.js';
import * as inspection from '../inspection.js';

const route: types.Route = {
	name: 'r1', database: 'ledger', kind: 'primary', maximumAgeMs: 0, statementTimeoutMs: 800, targetMs: 300, priority: 0, service: 'core',
};
const customer: types.Customer = {
	name: 'north', priority: 1, operationsPerS: 10, burst: 10, keyDigests: ['aa'],
};

function deploy(change: Partial<types.Deployment> = {}): types.Deployment {
	return {
		version: 2, routes: [route], databases: [{name: 'core', connectionLimit: 16, synchronousReplicas: 1}], idleTransactionMs: 3000, ...change,
	};
}

/** Findings as `severity entry`. */
function find(next: types.Deployment, current?: types.Deployment): string[] {
	return inspection.findProblems(next, current).map(({severity, entry}) => `${severity} ${entry}`);
}

test.test('a sound configuration has no findings', () => {
	assert.deepEqual(find(deploy({customers: [customer]}), deploy({version: 1, customers: [customer]})), []);
});

// Guards against a version that hosts ignore because they have a newer one.
test.test('a version that is not above the one in force is an error', () => {
	assert.deepEqual(find(deploy(), deploy()), ['error version']);
});

test.test('routes without a service, and routes that another one hides, are errors', () => {
	const hidden = {...route, name: 'r0'};
	assert.deepEqual(find(deploy({routes: [hidden, {...route, service: 'gone'}]})), ['error route r0', 'error route r1', 'warning service core']);
});

test.test('limits of a route that contradict each other are reported', () => {
	assert.deepEqual(find(deploy({routes: [{...route, statementTimeoutMs: 200}]})), ['warning route r1']);
	assert.deepEqual(find(deploy({routes: [{...route, maximumAgeMs: 5}]})), ['warning route r1']);
	assert.deepEqual(find(deploy({routes: [{...route, kind: 'aged'}]})), ['warning route r1']);
	assert.deepEqual(find(deploy({idleTransactionMs: 100})), ['warning route r1']);
	assert.deepEqual(find(deploy({routes: [{...route, statementTimeoutMs: 0}]})), ['error route r1']);
});

test.test('services without connections for a failover, or without synchronous replicas, are reported', () => {
	assert.deepEqual(find(deploy({databases: [{name: 'core', connectionLimit: 1, synchronousReplicas: 0}]})), ['error service core', 'warning service core']);
});

// Guards against a customer that is locked out, or whose quota admits nothing.
test.test('customers without a key, with a shared key, or with an unusable quota are errors', () => {
	assert.deepEqual(find(deploy({customers: [{...customer, keyDigests: []}]})), ['error customer north']);
	assert.deepEqual(find(deploy({customers: [customer, {...customer, name: 'south'}]})), ['error customer north, south']);
	assert.deepEqual(find(deploy({customers: [{...customer, burst: 0.5}]})), ['error customer north']);
	assert.deepEqual(find(deploy({customers: [{...customer, operationsPerS: 0}]})), ['error customer north']);
	assert.deepEqual(find(deploy({customers: [customer, {...customer, keyDigests: ['bb']}]})), ['error customer north']);
});

// Guards against a version that would serve every caller because the customers were left out.
test.test('a version without customers after one with customers is an error', () => {
	assert.deepEqual(find(deploy(), deploy({version: 1, customers: [customer]})), ['error customers']);
});

test.test('differences name the entry and its fields, and count keys without showing them', () => {
	const next = deploy({routes: [{...route, targetMs: 400}, {...route, name: 'r2', database: 'b'}], customers: [{...customer, keyDigests: ['bb', 'cc']}]});
	assert.deepEqual(inspection.compare(deploy({customers: [customer]}), next).map(difference => inspection.describe(difference)), [
		'~ customer north: keys: 2 added, 1 removed',
		'~ route r1: targetMs: 300 -> 400',
		'+ route r2',
	]);
});
