/**
Checks that entry hosts apply configurations in time and never return to an older one. Each configuration has a route
that no other one has, so a session for it shows whether a host applies exactly that configuration.
*/
import type * as clock from '../core/clock.js';
import type * as contacts from './contact.js';

/** Time within which a configuration must be in force, the default of the hosts' setting `configurationMs`. */
export const configurationMs = 3000;
/** Time without disturbance of a host and of the store after which the bound holds for the host. */
export const contactMs = 4000;

/** A process of an entry host. The position in the list of hosts and the process id tell processes apart. */
export type Process = {readonly host: number; readonly pid: number};

/** Response to a session for a configuration's own route: the route exists, or it does not. */
export type Answer = 'known' | 'unknown';

/** Records configurations and sessions for their routes, and collects violations. */
export class Configurations {
	readonly violations: string[] = [];
	readonly #clock: clock.Clock;
	readonly #contact: contacts.Contact;
	/** Times of acknowledgement; a configuration's number is its position. */
	readonly #acknowledgedAt: number[] = [];
	/** By process, the lowest number that it can have according to its earlier answers. */
	readonly #seen = new Map<string, number>();
	readonly #counts = {answers: 0, bound: 0};

	constructor(time: clock.Clock, contact: contacts.Contact) {
		this.#clock = time;
		this.#contact = contact;
	}

	/** Number of answers recorded. */
	get answers(): number {
		return this.#counts.answers;
	}

	/** Number of answers for which the bound of time held. */
	get boundAnswers(): number {
		return this.#counts.bound;
	}

	/** Number of the latest acknowledged configuration; -1 before the first. */
	get latest(): number {
		return this.#acknowledgedAt.length - 1;
	}

	/** Records that the store acknowledged the next configuration. */
	acknowledge(): void {
		this.#acknowledgedAt.push(this.#clock.now());
	}

	/** Starts a session for the route of configuration `number`, and returns a function that records its answer. */
	request(process: Process, number: number): (answer: Answer) => void {
		const required = this.#findRequired(process.host);
		const key = `${process.host} ${process.pid}`;
		const seen = this.#seen.get(key) ?? -1;
		const lowest = Math.max(required, seen);
		return answer => {
			this.#counts.answers++;
			this.#counts.bound += required >= 0 ? 1 : 0;
			const isPossible = answer === 'known' ? number >= lowest : number !== lowest || lowest < this.latest;
			if (!isPossible) {
				const cause = seen >= required ? 'reverted: an earlier answer showed' : 'outdated: in force was';
				this.#report(`${cause} configuration ${lowest} at host ${process.host}, which answered that the route of ${number} is ${answer}`);
			} else if (answer === 'known') {
				this.#raise(key, number);
			} else if (number === seen) {
				// The process has replaced the configuration that it had.
				this.#raise(key, number + 1);
			}
		};
	}

	/** Records a violation once, although each later answer of the host repeats it. */
	#report(violation: string): void {
		if (!this.violations.includes(violation)) {
			this.violations.push(violation);
		}
	}

	#raise(key: string, number: number): void {
		this.#seen.set(key, Math.max(number, this.#seen.get(key) ?? -1));
	}

	/** Number of the configuration that a host must have by now; -1 if it is held to none. */
	#findRequired(host: number): number {
		const now = this.#clock.now();
		return now - this.#contact.quietSince(['store', 'hosts', `host ${host}`]) < contactMs
			? -1
			: this.#acknowledgedAt.findLastIndex(at => now - at > configurationMs);
	}
}
