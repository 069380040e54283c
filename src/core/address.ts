/**
Network addresses in the format of the settings.
*/

/** An IP address and a port. */
export type Address = {readonly host: string; readonly port: number};

/**
Parses `IP:port`. The format is validated by the schemas.

@example
```
address.parse('127.0.0.1:3306'); //=> {host: '127.0.0.1', port: 3306}
```
*/
export function parse(text: string): Address {
	const colon = text.lastIndexOf(':');
	return {host: text.slice(0, colon).replaceAll(/[\[\]]/gv, ''), port: Number(text.slice(colon + 1))};
}
