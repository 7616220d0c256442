package org.geraniumford.core.weights;

import java.util.Arrays;

/** How far an order has got, as far as the holder that recorded it knows. */
public enum OrderProgress {
    /** The server may not have read the order yet, or may never have received it. */
    ISSUED("false"),

    /** The server has answered the order, or a request that was sent after the order had arrived or never would. */
    ANSWERED("answered"),

    /** The server has loaded the weights. */
    DONE("true");

    /** Earlier versions of this program wrote whether the order was done, and read anything but "true" as not done. */
    private final String text;

    OrderProgress(String text) {
        this.text = text;
    }

    // -- construction

    /**
     * Decodes the text of an order's progress.
     *
     * @param text what {@link #encode} returned
     * @return the progress; {@link #ISSUED} for unknown text
     */
    public static OrderProgress decode(String text) {
        return Arrays.stream(values())
                .filter(progress -> progress.text.equals(text))
                .findFirst()
                .orElse(ISSUED);
    }

    // -- queries

    /**
     * Returns the progress as text.
     *
     * @return a word without spaces
     */
    public String encode() {
        return text;
    }

    /**
     * Returns whether the server has read the order.
     *
     * @return false if that is not known
     */
    public boolean isRead() {
        return this != ISSUED;
    }
}
