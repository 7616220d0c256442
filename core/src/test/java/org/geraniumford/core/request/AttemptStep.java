package org.geraniumford.core.request;

/** The steps of an attempt at which a fault may come. */
enum AttemptStep {
    PROBE,
    SUBMIT,
    ADMIT,
    FIRST_TOKEN,
    MID_STREAM,
    END;

    /** The number of frames that arrive before the step; the first one says that the engine took the request. */
    int framesBefore(int frames) {
        return switch (this) {
            case PROBE, SUBMIT, ADMIT -> 0;
            case FIRST_TOKEN -> 1;
            case MID_STREAM -> frames / 2;
            case END -> frames - 1;
        };
    }
}
