import type { ServiceId } from '@buckthornslip/common';

import type { ZoneContacts } from '../contacts/ZoneContacts';
import type { MembershipHandler } from '../peers/MembershipHandler';
import type { SelfRecord } from './SelfRecord';
import type { ServiceViews } from './ServiceViews';

/**
 * Dispatches the requests of other nodes to the component that answers them.
 *
 * @param self - This node's record.
 * @param views - Groups and subscriptions.
 * @param contacts - Zone contacts.
 * @returns The handler.
 * @internal
 */
export function createMembershipHandler(
  self: SelfRecord,
  views: ServiceViews,
  contacts: ZoneContacts,
): MembershipHandler {
  const groupOf = ({ service }: { readonly service: string }) => views.group(service as ServiceId);

  return {
    probe: (request) => {
      const { host, incarnation } = self.current();
      return groupOf(request)?.answerProbe(request) ?? { host, incarnation, updates: [] };
    },
    indirectProbe: (request) =>
      groupOf(request)?.answerIndirectProbe(request) ?? { answered: false, updates: [] },
    pushMembers: (request) => {
      const view = groupOf(request) ?? views.subscription(request.service as ServiceId);
      return view?.answerPush(request) ?? { updates: [] };
    },
    pullRoster: (request) => {
      const { host, incarnation } = self.current();
      const answer = groupOf(request)?.answerPull(request);
      if (answer) return answer;
      return { member: false, host, incarnation, sequence: 0, full: false, records: [] };
    },
    register: contacts.answerRegister,
    findService: contacts.answerFindService,
    inviteContact: contacts.answerInviteContact,
  };
}
