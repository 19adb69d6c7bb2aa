import { Logger } from 'tslog';

import type { EventDefinition } from '../events/EventDefinition';
import { eventCatalogue } from '../events/eventCatalogue';
import type { EventName } from '../events/EventName';
import type { EventLogger } from './EventLogger';
import type { LogLevel } from './LogLevel';

/** Numeric levels of the tslog library. */
const tslogLevels: Readonly<Record<LogLevel, number>> = { debug: 2, info: 3, warn: 4, error: 5 };

/**
 * Creates a logger that writes each event as a JSON object on its own line.
 *
 * @param options - Name of the process, minimum level, and the function that writes a line (default: stderr). The function
 *   is told whether the line is one of those that each call causes.
 * @returns The logger.
 * @public
 */
export function createEventLogger(options: {
  readonly name: string;
  readonly level: LogLevel;
  readonly write?: (line: string, isPerCall: boolean) => void;
}): EventLogger {
  const write = options.write ?? ((line: string) => process.stderr.write(`${line}\n`));
  const minLevel = tslogLevels[options.level];
  const logger = new Logger<Record<string, unknown>>({
    name: options.name,
    type: 'hidden',
    minLevel,
    hideLogPositionForProduction: true,
    // By default the library copies, masks and annotates each record, which costs four times as much as writing it.
    overwrite: {
      mask: (records) => records,
      toLogObj: ([record]) => record as Record<string, unknown>,
      addMeta: (record) => record as never,
    },
  });
  logger.attachTransport((record) => {
    const { event } = record as unknown as { readonly event: EventName };
    const { perCall }: EventDefinition = eventCatalogue[event];
    write(JSON.stringify(record), perCall === true);
  });
  return {
    log: (event, fields) => {
      const definition: EventDefinition = eventCatalogue[event];
      const level = tslogLevels[definition.level];
      if (level < minLevel) return;
      const { number, message } = definition;
      const time = new Date().toISOString();
      const head = { time, level: definition.level, process: options.name, number, event, message };
      logger.log(level, definition.level, { ...head, ...fields });
    },
  };
}
