import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as fc from 'fast-check';
import * as revisions from '../revision.js';

const parts = fc.record({
	generation: fc.nat(revisions.maxGeneration), counter: fc.bigInt(0n, BigInt(revisions.maxCounter)).map(Number),
});

test.test('guards against a revision that is lower than one given out before the store was restored', () => {
	fc.assert(fc.property(parts, parts, (one, other) => {
		const isOlder = one.generation < other.generation || (one.generation === other.generation && one.counter < other.counter);
		assert.equal(revisions.combine(one) < revisions.combine(other), isOlder);
	}));
});

test.test('guards against parts that are lost in the number', () => {
	fc.assert(fc.property(parts, one => {
		assert.ok(Number.isSafeInteger(revisions.combine(one)));
		assert.deepEqual(revisions.split(revisions.combine(one)), {...one});
	}));
});
