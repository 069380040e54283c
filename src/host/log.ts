/**
Structured logs on standard error, one JSON object per line.
*/
import * as winston from 'winston';
import type * as types from '../generated/types.js';

export type Logger = winston.Logger;

/**
Creates the logger of a process.

@example
```
const logger = log.create('info', {host: 'entry-1'});
logger.info('entry host started', {place: 'puget-a'});
```
*/
export function create(level: types.Level | 'silent', fields: Record<string, string>): Logger {
	return winston.createLogger({
		level: level === 'silent' ? 'error' : level,
		silent: level === 'silent',
		defaultMeta: fields,
		format: winston.format.combine(winston.format.timestamp(), winston.format.json()),
		transports: [new winston.transports.Console({stderrLevels: ['error', 'warn', 'info', 'debug']})],
	});
}
