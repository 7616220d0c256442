package org.geraniumford.core.request;

/** The steps of an attempt at which a fault may occur. */
enum AttemptStep {
    PROBE,
    SUBMIT,
    /** The host has received the attempt, but its first frame has not arrived. */
    ADMIT,
    FIRST_TOKEN,
    MID_STREAM,
    END;

    /** Returns the number of frames that arrive before the step; the first frame is {@code Started}. */
    int framesBefore(int frameCount) {
        return switch (this) {
            case PROBE, SUBMIT, ADMIT -> 0;
            case FIRST_TOKEN -> 1;
            case MID_STREAM -> frameCount / 2;
            case END -> frameCount - 1;
        };
    }
}
