import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as cases from './cases.js';
import * as model from './model.js';

/** Runs a case with the rule of the product and with the one before it. */
function compare(name: string, hosts: number): {readonly balanced: model.Result; readonly previous: model.Result} {
	const fault = cases.faults[name];
	const {balancer, previous} = cases.compared(fault);
	const run = (build: model.Case['build']): model.Result => model.run({
		...cases.usual, ...cases.demand(name), hosts, fault, build,
	}, 11);
	return {balanced: run(balancer), previous: run(previous)};
}

for (const hosts of [6, 28]) {
	for (const name of ['equal servers', 'swinging demand', 'bursts of all hosts', 'high load, swinging']) {
		test.test(`guards against worse service of ${hosts} hosts with healthy servers: ${name}`, () => {
			const {balanced, previous} = compare(name, hosts);
			assert.ok(balanced.busiestToMeanPerS < 1.5, `busiest to mean ${balanced.busiestToMeanPerS}`);
			assert.ok(balanced.rejectedRatio < 0.01, `rejected ${balanced.rejectedRatio}`);
			assert.ok(balanced.remoteRatio <= previous.remoteRatio + 0.01, `left their place ${balanced.remoteRatio}, before ${previous.remoteRatio}`);
			assert.ok(balanced.p99Ms <= previous.p99Ms * 1.2, `99% within ${balanced.p99Ms} ms, before ${previous.p99Ms} ms`);
			assert.ok(balanced.oscillation < 0.08, `oscillation ${balanced.oscillation}`);
		});
	}

	for (const name of ['slow by 8', 'refuses 40%', 'fails 40%', 'flaps each second', 'high load, slow by 8', 'high load, refuses 40%']) {
		test.test(`guards against load of ${hosts} hosts on a server that can't take it, and disuse after it recovers: ${name}`, () => {
			const {balanced, previous} = compare(name, hosts);
			const bad = ({rejectedRatio, failedRatio}: model.Result): number => rejectedRatio + failedRatio;
			assert.ok(bad(balanced) <= Math.max(0.01, bad(previous) * 0.25), `refused or failed ${bad(balanced)}, before ${bad(previous)}`);
			assert.ok(balanced.busiestToMean < 1.5, `busiest to mean ${balanced.busiestToMean}`);
			assert.ok(cases.recoveryMs(balanced) <= 12_000, `used again after ${cases.recoveryMs(balanced)} ms`);
		});
	}
}
