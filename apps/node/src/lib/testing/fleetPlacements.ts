import type { HostPlacement } from './HostPlacement';

/**
 * Placements of three hosts of one service in two regions and one host of another service.
 *
 * @internal
 */
export const fleetPlacements: readonly HostPlacement[] = [
  { region: 'riga', zone: 'riga-a', service: 'subsidies' },
  { region: 'riga', zone: 'riga-b', service: 'subsidies' },
  { region: 'daugavpils', zone: 'daugavpils-a', service: 'subsidies' },
  { region: 'daugavpils', zone: 'daugavpils-b', service: 'statements' },
];
