import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as soak from '../soak.js';

const faultsMs = 10_000;
const testTimeoutMs = 90_000;
/** Seed of the regression for commits that were lost when a new primary was replaced before its replicas knew its term. */
const seeds = [268];

for (const seed of seeds) {
	test.test(`soak of seed ${seed} with promotions: no acknowledged commit is lost when saturated primaries are replaced in a row, and each group leads again`, {timeout: testTimeoutMs}, async () => {
		const report = await soak.run(seed, {faultsMs, plan: 'promotions'});
		assert.deepEqual(report.violations, [], report.events.join('\n'));
		assert.ok(report.served > 0);
	});
}
