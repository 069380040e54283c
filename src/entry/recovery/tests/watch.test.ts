import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as sites from '../../tests/fake-site.js';

/** Time of a start in which the lists of the store are read. */
const maxStartMs = 100;

// Guards against a host that goes by a list of the claims and doesn't see the next claim for a second: the claimant doesn't know
// a host that is new, so it neither tells it nor waits until it has read the claim.
test.test('a host that starts watches the claims as soon as it has listed them', async context => {
	const site = new sites.Site();
	await site.start(context);
	for (const {watchedAt} of site.stores) {
		assert.ok(watchedAt.get('claims')! <= maxStartMs, `${watchedAt.get('claims')} ms`);
	}
});
