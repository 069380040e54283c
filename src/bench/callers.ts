/**
A child process of `capacity.js`: opens connections to an entry host and keeps them idle.
*/
import process from 'node:process';
import * as mysql from 'mysql2/promise';

/** Message that the child sends once the connections are open. */
export type Connected = {readonly count: number};

const batchSize = 50;

async function connect(port: number, count: number): Promise<Connected> {
	for (let opened = 0; opened < count; opened += batchSize) {
		await Promise.all(Array.from({length: Math.min(batchSize, count - opened)}, async () => mysql.createConnection({
			host: '127.0.0.1', port, user: 'secretary', password: 'secret',
		})));
	}

	return {count};
}

if (process.send) {
	process.send(await connect(Number(process.argv[2]), Number(process.argv[3])));
	process.once('disconnect', () => {
		process.exit();
	});
}
