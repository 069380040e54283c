/**
Execution on this host's own connections to the backend servers.
*/
import type * as types from '../generated/types.js';
import * as executor from './executor.js';
import type * as groups from './group.js';
import * as jobs from './job.js';
import type * as leases from './lease.js';
import * as read from './read.js';
import type * as statement from './statement.js';
import * as transaction from './transaction.js';
import * as write from './write.js';

/** An executor that uses this host's connections. */
export class Local extends executor.Executor {
	readonly #context: jobs.Context;
	readonly #findGroup: (service: string) => groups.Group | undefined;
	readonly #reader: read.Reader;
	readonly #writer: write.Writer;
	readonly #opener: transaction.Opener;

	constructor(context: jobs.Context, findGroup: (service: string) => groups.Group | undefined) {
		super();
		this.#context = context;
		this.#findGroup = findGroup;
		this.#reader = new read.Reader(context);
		this.#writer = new write.Writer(context);
		this.#opener = new transaction.Opener(context, this.#reader);
	}

	override prepare(service: string): void {
		this.#findGroup(service)?.touch();
	}

	override async run(job: jobs.Job, work: leases.Work): Promise<statement.Reply> {
		const group = this.#findGroup(job.route.service);
		if (!group) {
			return jobs.refuse(this.#context, job, 'this host has no configuration for the service yet');
		}

		group.touch();
		const statementJob = {...job, group, work};
		return work.mode === 'read' ? this.#reader.execute(statementJob) : this.#writer.execute(statementJob);
	}

	override async begin(job: jobs.Job, mode: types.AccessMode): Promise<executor.Transaction | statement.Reply> {
		const group = this.#findGroup(job.route.service);
		if (!group) {
			return jobs.refuse(this.#context, job, 'this host has no configuration for the service yet');
		}

		group.touch();
		return this.#opener.open({...job, group}, mode);
	}
}
