/** Times of connections between nodes, in milliseconds. */
export const channelTimes = {
  /** Longest time until the other node has greeted; two round trips between regions take 120 ms. */
  connectTimeout: 500,
  /** How often connections with unanswered messages are looked at. */
  checkInterval: 250,
  /** Time without a byte after which the other node is asked for a sign of life. */
  pingDelay: 400,
  /** Time without a byte after which a connection counts as silent. A lost packet is sent again within 600 ms. */
  silenceTimeout: 1_200,
  /** Pause before the answer to a call that must not run twice is asked for again. */
  resumeDelay: 300,
  /** Time for which calls go on after their connection was lost, so that their answers can be asked for again. */
  orphanTimeout: 2_000,
  /** Time for which an answer is kept after it was sent. */
  answerRetention: 5_000,
  /** Longest wait for the answer to a short message. */
  exchangeTimeout: 900,
  /** Longest wait for tokens; a round trip between regions takes 60 ms. */
  tokenTimeout: 250,
} as const;
