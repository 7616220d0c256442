package org.geraniumford.transport.forward;

/** Why a caller's connection was closed, or its request refused, to bound what the process keeps. */
public enum CallerClosure {
    /** The largest half-sent or unread connection, because the bytes kept for callers exceeded their limit. */
    MEMORY_FULL("memory_full"),

    /** A request with a long body, because most of the memory for callers was taken when it began. */
    MEMORY_SCARCE("memory_scarce"),

    /** The oldest unread, half-sent or idle connection, to make room for a new one. */
    ROOM_NEEDED("room_needed"),

    /** A new connection, because there was no other one that could be closed. */
    NO_ROOM("no_room"),

    /** A request whose trailers, or chunk extensions, have too many bytes or lines. */
    TRAILERS_TOO_LARGE("trailers_too_large");

    private final String label;

    CallerClosure(String label) {
        this.label = label;
    }

    /**
     * Returns the name in metrics and logs.
     *
     * @return lower-case letters and underscores
     */
    public String label() {
        return label;
    }
}
