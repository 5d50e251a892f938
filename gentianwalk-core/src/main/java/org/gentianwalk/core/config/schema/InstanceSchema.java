package org.gentianwalk.core.config.schema;

import static org.gentianwalk.core.config.schema.ValueTypes.HTTP_URI;
import static org.gentianwalk.core.config.schema.ValueTypes.IP_ADDRESS;
import static org.gentianwalk.core.config.schema.ValueTypes.NAME;
import static org.gentianwalk.core.config.schema.ValueTypes.SECRET;
import static org.gentianwalk.core.config.schema.ValueTypes.SHA256;
import static org.gentianwalk.core.config.schema.ValueTypes.WHOLE;

/** The keys of {@code instance.yaml}. */
public final class InstanceSchema {
    /** The whole file. */
    public static final Spec.Section ROOT =
            new SectionBuilder()
                    .required("id", NAME, "Unique name of the instance.")
                    .required("address", IP_ADDRESS, "IP address to listen on.")
                    .required(
                            "http-port",
                            WHOLE,
                            "0",
                            "65535",
                            "Port for callers and operators; 0 for any free port.")
                    .required(
                            "mesh-port",
                            WHOLE,
                            "0",
                            "65535",
                            "Port for other instances; 0 for any free port.")
                    .required("zone", NAME, "Availability zone.")
                    .required("region", NAME, "Region.")
                    .add("platform", platform(), true, "Services of the platform.")
                    .add(
                            "mesh-keys",
                            new Spec.SectionList(meshKey()),
                            true,
                            "Keys for messages between instances; the first signs, all verify.")
                    .required("admin-token", SHA256, "SHA-256 hash of the token for /admin.")
                    .withDefault(
                            "log-level",
                            ValueTypes.choice("error", "warn", "info", "debug"),
                            null,
                            null,
                            "info",
                            "Minimum severity of log lines to write.")
                    .build();

    private InstanceSchema() {}

    private static Spec.Section platform() {
        return new SectionBuilder()
                .required("table", HTTP_URI, "Table service.")
                .required("objects", HTTP_URI, "Object store.")
                .required("instances", HTTP_URI, "Instance list.")
                .required("weights", HTTP_URI, "Weight store.")
                .build();
    }

    private static Spec.Section meshKey() {
        return new SectionBuilder()
                .required("id", NAME, "Name of the key, sent with each frame.")
                .required("secret", SECRET, "The key.")
                .build();
    }
}
