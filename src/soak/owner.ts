/**
Finds the process that owns a TCP port of this machine, as Linux lists it. The hosts share all addresses of the stand-ins,
so that only the port of a connection tells which host opened it.
*/
import * as fs from 'node:fs';

const establishedState = '01';
const cachedMs = 20;

/** Ports of the connections of some processes. */
export class Owners {
	readonly #processes: () => ReadonlyArray<number | undefined>;
	#owners = new Map<number, number>();
	#readAt = Number.NEGATIVE_INFINITY;

	/** `processes` returns the ids of the processes, in the order of their indexes. */
	constructor(processes: () => ReadonlyArray<number | undefined>) {
		this.#processes = processes;
	}

	/** Index of the process that opened the connection from a port; `undefined` if none of the processes did. */
	find(port: number): number | undefined {
		if (!this.#owners.has(port) && performance.now() - this.#readAt > cachedMs) {
			this.#read();
		}

		return this.#owners.get(port);
	}

	#read(): void {
		this.#readAt = performance.now();
		const portsByInode = readPorts();
		const found = this.#processes().flatMap((pid, index) => pid === undefined
			? []
			: listInodes(pid).flatMap(inode => {
				const port = portsByInode.get(inode);
				return port === undefined ? [] : [[port, index] as const];
			}));
		this.#owners = new Map([...this.#owners, ...found]);
	}
}

function readPorts(): Map<string, number> {
	const rows = fs.readFileSync('/proc/net/tcp', 'utf8').split('\n').slice(1).map(row => row.trim().split(/\s+/v));
	return new Map(rows.filter(fields => fields[3] === establishedState).map(fields => [fields[9], Number.parseInt(fields[1].split(':')[1], 16)]));
}

function listInodes(pid: number): string[] {
	try {
		return fs.readdirSync(`/proc/${pid}/fd`).flatMap(descriptor => {
			try {
				return /^socket:\[(?<inode>\d+)\]$/v.exec(fs.readlinkSync(`/proc/${pid}/fd/${descriptor}`))?.groups?.inode ?? [];
			} catch {
				// The descriptor was closed meanwhile.
				return [];
			}
		});
	} catch {
		// The process has ended.
		return [];
	}
}
