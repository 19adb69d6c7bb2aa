/** Bytes of an answer that its entry node accepts before it grants credit, unless many requests are in progress there. */
export const FULL_ANSWER_WINDOW_BYTES = 393_216;
