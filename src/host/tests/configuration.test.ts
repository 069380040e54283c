import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as fc from 'fast-check';
import * as Either from 'fp-ts/lib/Either.js';
import * as clock from '../../core/clock.js';
import * as errors from '../../core/errors.js';
import * as random from '../../core/random.js';
import type * as types from '../../generated/types.js';
import * as store from '../../store/store.js';
import * as configuration from '../configuration.js';
import * as log from '../log.js';
import type * as cache from '../cache.js';

const seed = 20_261_204;
const valid = '[service.ledgers.server.a]\naddress = 127.0.0.1:1\nplace = a\n[account.x]\nservice = ledgers\ntenant = t\npasswordHash = 14e65567abdb5135d0cfd9a70b3032c179a49ee7\n';

type Step = {readonly version: number; readonly isValid: boolean; readonly isDown: boolean};

/** A store whose watches return a scripted sequence of entries and failures, and fail after its end. */
class ScriptedStore extends store.Store {
	readonly #steps: Step[];
	readonly #done: () => void;
	readonly #check: () => void;

	constructor(steps: readonly Step[], check: () => void, done: () => void) {
		super();
		this.#steps = [...steps];
		this.#check = check;
		this.#done = done;
	}

	override async read(): Promise<errors.Outcome<store.Entry>> {
		return errors.fail('store', 'store', '', 'unused');
	}

	override async update(): Promise<errors.Outcome<store.Entry>> {
		return errors.fail('store', 'store', '', 'unused');
	}

	override async watch(key: string): Promise<errors.Outcome<store.Entry>> {
		this.#check();
		const step = this.#steps.shift();
		if (!step) {
			this.#done();
		}

		return step && !step.isDown
			? Either.right({key, version: step.version, value: step.isValid ? `${valid}; ${step.version}` : '[nonsense]'})
			: errors.fail('store', 'store', '', 'down');
	}
}

const steps = fc.array(fc.record({version: fc.nat(9), isValid: fc.boolean(), isDown: fc.boolean()}), {maxLength: 12});

test.test('the version of the active configuration never decreases, whatever the store returns (guards against a store restored from a backup)', async () => {
	await fc.assert(fc.asyncProperty(steps, async list => {
		const stopped = new AbortController();
		let highest = 0;
		const check = (): void => {
			assert.ok(active.version >= highest, `version ${active.version} after ${highest}`);
			highest = active.version;
		};

		const timing: Partial<types.Timing> = {storeReturnMs: 0, linkTimeoutMs: 1};
		const options = {
			store: new ScriptedStore(list, check, () => {
				stopped.abort();
			}),
			clock: new clock.System(), random: new random.Seeded(seed), logger: log.create('silent', {}), seeds: () => [], timing, onChange() {}, // eslint-disable-line @typescript-eslint/no-empty-function
		};
		const active = new configuration.Configuration(options as unknown as cache.Options);
		await active.run(stopped.signal);
		assert.equal(active.version, Math.max(0, ...list.filter(({isValid, isDown}) => isValid && !isDown).map(({version}) => version)));
		assert.equal(active.version === 0, active.content === undefined);
	}), {seed, numRuns: 100});
});
